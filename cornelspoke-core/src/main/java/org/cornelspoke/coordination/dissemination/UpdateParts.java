package org.cornelspoke.coordination.dissemination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigUpdate;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.registry.RegistryUpdate;

/** Splits updates into messages that fit into a frame of 1 MiB. */
final class UpdateParts {

  /** Half a frame, because the sizes are upper estimates of single items only. */
  private static final int MAX_PART_BYTES = 512 << 10;

  private static final int ENTITY_BYTES = 400;
  private static final int ID_BYTES = 150;
  private static final int TARGET_BYTES = 600;
  private static final int MAX_BYTES_PER_CHAR = 3;

  private UpdateParts() {}

  static List<ControlMessage> of(ConfigUpdate update) {
    List<ControlMessage> messages = new ArrayList<>();
    if (update instanceof ConfigUpdate.Full full) {
      List<List<ConfigEntity>> parts = split(full.live(), UpdateParts::size);
      for (int i = 0; i < parts.size(); i++) {
        messages.add(
            new ControlMessage.ConfigSnapshot(
                full.to(), i == 0, i == parts.size() - 1, parts.get(i)));
      }
    } else if (update instanceof ConfigUpdate.Delta delta) {
      List<List<ConfigEntity>> live = split(delta.live(), UpdateParts::size);
      List<List<EntityId>> removed = split(delta.removed(), id -> ID_BYTES);
      for (int i = 0; i < live.size() - 1; i++) {
        messages.add(
            new ControlMessage.ConfigDelta(
                delta.from(), delta.to(), false, live.get(i), List.of()));
      }
      for (int i = 0; i < removed.size() - 1; i++) {
        messages.add(
            new ControlMessage.ConfigDelta(
                delta.from(), delta.to(), false, List.of(), removed.get(i)));
      }
      messages.add(
          new ControlMessage.ConfigDelta(
              delta.from(), delta.to(), true, last(live), last(removed)));
    }
    return messages;
  }

  static List<ControlMessage> of(RegistryUpdate update) {
    List<ControlMessage> messages = new ArrayList<>();
    var live = split(update.live(), target -> TARGET_BYTES);
    var removed = split(update.removed(), id -> ID_BYTES);
    int count = Math.max(live.size(), removed.size());
    for (int i = 0; i < count; i++) {
      messages.add(
          new ControlMessage.RegistryDelta(
              update.service(),
              update.fromVersion(),
              update.toVersion(),
              update.full(),
              i == count - 1,
              i < live.size() ? live.get(i) : List.of(),
              i < removed.size() ? removed.get(i) : List.of()));
    }
    return messages;
  }

  private static int size(ConfigEntity entity) {
    return entity instanceof Route route
        ? ENTITY_BYTES + MAX_BYTES_PER_CHAR * route.pathPrefix().length()
        : ENTITY_BYTES;
  }

  /** Returns at least one part. */
  private static <T> List<List<T>> split(List<T> items, ToIntFunction<T> size) {
    List<List<T>> parts = new ArrayList<>();
    List<T> part = new ArrayList<>();
    int bytes = 0;
    for (T item : items) {
      bytes += size.applyAsInt(item);
      if (bytes > MAX_PART_BYTES && !part.isEmpty()) {
        parts.add(List.copyOf(part));
        part.clear();
        bytes = size.applyAsInt(item);
      }
      part.add(item);
    }
    parts.add(List.copyOf(part));
    return parts;
  }

  private static <T> T last(List<T> items) {
    return items.get(items.size() - 1);
  }
}
