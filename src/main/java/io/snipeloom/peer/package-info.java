/** The protocol by which edge instances lend each other tokens: MessagePack frames over TCP. */
package io.snipeloom.peer;
