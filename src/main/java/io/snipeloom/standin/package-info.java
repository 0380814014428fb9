/**
 * Stand-ins for the services of the platform, the model engines and the plain services, and a load
 * generator.
 */
package io.snipeloom.standin;
