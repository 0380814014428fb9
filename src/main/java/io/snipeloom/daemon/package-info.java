/** Thin daemons, their settings and the command line. */
package io.snipeloom.daemon;
