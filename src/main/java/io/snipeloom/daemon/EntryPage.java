package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationEntry;
import io.snipeloom.state.Entry;
import java.util.List;

/**
 * A page of configuration entries.
 *
 * @param offset the log offset of the configuration
 * @param entries the entries, each with the offset of its last change
 * @param next the identifier to pass as {@code after} to get the next page; null on the last page
 */
record EntryPage(
    long offset, List<? extends Entry<? extends ConfigurationEntry>> entries, String next) {}
