package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationEntry;
import io.snipeloom.state.Entry;
import java.util.List;

/**
 * A run of configuration entries.
 *
 * @param offset the offset of the configuration
 * @param entries the entries with the offsets of their last changes
 * @param next the identifier to pass as {@code after} for the next run; null at the end
 */
record EntryPage(
    long offset, List<? extends Entry<? extends ConfigurationEntry>> entries, String next) {}
