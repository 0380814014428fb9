/**
 * The adapter to the users' platform: its HTTP headers, configuration document, replica entries and
 * store API.
 *
 * <p>This package only translates. It makes no routing or spend decisions, keeps no state beyond a
 * call and does not retry. Only this package knows the header, field and topic names that the
 * platform uses on the wire.
 */
package io.snipeloom.platform;
