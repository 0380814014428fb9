/** Interfaces to the services of the platform and the HTTP clients that implement them. */
package io.snipeloom.client;
