/**
 * Access to the persistent store, which outlives all instances, as topics, partitions and keyed
 * records.
 *
 * <p>The interface {@link io.snipeloom.store.KeyedLog} is implemented by the adapter for a platform
 * and by test doubles. All classes are confined to one event loop thread.
 */
package io.snipeloom.store;
