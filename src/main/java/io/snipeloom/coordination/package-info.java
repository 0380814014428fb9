/** Coordination between instances: following the log, holding claims, routing and membership. */
package io.snipeloom.coordination;
