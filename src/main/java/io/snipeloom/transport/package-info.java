/** Framed TCP connections between Snipeloom processes, HTTP servers, and tracing. */
package io.snipeloom.transport;
