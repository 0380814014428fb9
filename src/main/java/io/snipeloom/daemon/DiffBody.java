package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationEdit;
import java.util.List;

/**
 * The edits that turn the current configuration into a given document.
 *
 * @param baseOffset the log offset of the current configuration
 * @param edits the edits
 */
record DiffBody(long baseOffset, List<ConfigurationEdit> edits) {}
