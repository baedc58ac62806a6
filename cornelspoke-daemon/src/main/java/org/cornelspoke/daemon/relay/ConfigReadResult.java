package org.cornelspoke.daemon.relay;

import java.util.List;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.state.config.ConfigEntity;

/**
 * The configuration at one revision.
 *
 * @param entities all entities, including key hashes, token hashes and context secrets, which must
 *     not be shown to users
 */
public record ConfigReadResult(
    Revision revision, PresetName activePreset, List<ConfigEntity> entities) {}
