/**
 * The decision state, which each reader of the log derives from the log records, and the values and
 * records that it consists of.
 *
 * <p>All shared decisions, such as grants of claims and changes of the configuration, are
 * deterministic functions of the log, so that all readers reach the same state.
 */
package io.snipeloom.state;
