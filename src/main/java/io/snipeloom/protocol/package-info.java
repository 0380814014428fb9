/** Typed messages between Snipeloom processes and their MessagePack codec. */
package io.snipeloom.protocol;
