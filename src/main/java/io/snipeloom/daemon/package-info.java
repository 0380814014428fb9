/** The daemons and their settings, the HTTP APIs, the console and the command line. */
package io.snipeloom.daemon;
