/** The messages between routers and sidecars, and their MessagePack codec. */
package io.snipeloom.protocol;
