package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationEdit;
import java.util.List;

/**
 * The edits between the configuration in force and a document.
 *
 * @param baseOffset the offset of the configuration in force
 * @param edits the edits
 */
record DiffBody(long baseOffset, List<ConfigurationEdit> edits) {}
