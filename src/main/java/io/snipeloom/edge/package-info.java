/** The edge daemon: an entry instance on the users' platform, without disk and without peers. */
package io.snipeloom.edge;
