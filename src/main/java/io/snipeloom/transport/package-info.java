/** TCP connections between Snipeloom processes and the hosting of HTTP servers. */
package io.snipeloom.transport;
