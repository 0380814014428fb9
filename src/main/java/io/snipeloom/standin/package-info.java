/** Small stand-ins for the platform, the model engines and the plain services. */
package io.snipeloom.standin;
