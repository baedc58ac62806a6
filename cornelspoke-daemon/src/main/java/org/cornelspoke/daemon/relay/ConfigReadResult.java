package org.cornelspoke.daemon.relay;

import java.util.List;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.state.config.ConfigEntity;

/**
 * The configuration at one revision.
 *
 * @param entities every entity, key hashes, token hashes and context secrets included; whoever
 *     shows them to a person must leave those out
 */
public record ConfigReadResult(
    Revision revision, PresetName activePreset, List<ConfigEntity> entities) {}
