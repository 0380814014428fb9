/**
 * The protocol by which edge instances lend each other tokens and tell each other of their
 * requests: MessagePack frames over TCP.
 */
package io.snipeloom.peer;
