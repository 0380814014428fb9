/**
 * Access to the store that outlives all instances, in terms of topics, partitions and keyed
 * records.
 *
 * <p>The interface {@link io.snipeloom.store.KeyedLog} is implemented by the adapter of a platform
 * and by stand-ins. Everything here belongs to one event loop.
 */
package io.snipeloom.store;
