/** How instances lend tokens to each other: framed TCP with MessagePack between edge instances. */
package io.snipeloom.peer;
