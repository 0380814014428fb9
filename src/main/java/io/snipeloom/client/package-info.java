/** Interfaces of the platform services and of model engines, and HTTP clients for them. */
package io.snipeloom.client;
