package org.cornelspoke.coordination.dissemination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigUpdate;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.registry.RegistryUpdate;

/** Splits updates into messages that fit into the maximum frame size of 1 MiB. */
final class UpdateChunker {

  /** Half of the frame size, because the estimates cover only the items of a message. */
  private static final int MAX_CHUNK_BYTES = 512 << 10;

  private static final int MAX_ENTITY_BYTES = 400;
  private static final int MAX_ID_BYTES = 150;
  private static final int MAX_TARGET_BYTES = 600;
  private static final int MAX_BYTES_PER_CHAR = 3;

  private UpdateChunker() {}

  static List<ControlMessage> toMessages(ConfigUpdate update) {
    List<ControlMessage> messages = new ArrayList<>();
    if (update instanceof ConfigUpdate.Full full) {
      List<List<ConfigEntity>> chunks = split(full.live(), UpdateChunker::estimateBytes);
      for (int i = 0; i < chunks.size(); i++) {
        messages.add(
            new ControlMessage.ConfigSnapshot(
                full.to(), i == 0, i == chunks.size() - 1, chunks.get(i)));
      }
    } else if (update instanceof ConfigUpdate.Delta delta) {
      List<List<ConfigEntity>> live = split(delta.live(), UpdateChunker::estimateBytes);
      List<List<EntityId>> removed = split(delta.removed(), id -> MAX_ID_BYTES);
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

  static List<ControlMessage> toMessages(RegistryUpdate update) {
    List<ControlMessage> messages = new ArrayList<>();
    var live = split(update.live(), target -> MAX_TARGET_BYTES);
    var removed = split(update.removed(), id -> MAX_ID_BYTES);
    int messageCount = Math.max(live.size(), removed.size());
    for (int i = 0; i < messageCount; i++) {
      messages.add(
          new ControlMessage.RegistryDelta(
              update.service(),
              update.fromVersion(),
              update.toVersion(),
              update.full(),
              i == messageCount - 1,
              i < live.size() ? live.get(i) : List.of(),
              i < removed.size() ? removed.get(i) : List.of()));
    }
    return messages;
  }

  private static int estimateBytes(ConfigEntity entity) {
    return entity instanceof Route route
        ? MAX_ENTITY_BYTES + MAX_BYTES_PER_CHAR * route.pathPrefix().length()
        : MAX_ENTITY_BYTES;
  }

  /** Splits the items into chunks of limited size. Returns at least one chunk. */
  private static <T> List<List<T>> split(List<T> items, ToIntFunction<T> sizeInBytes) {
    List<List<T>> chunks = new ArrayList<>();
    List<T> chunk = new ArrayList<>();
    int chunkBytes = 0;
    for (T item : items) {
      chunkBytes += sizeInBytes.applyAsInt(item);
      if (chunkBytes > MAX_CHUNK_BYTES && !chunk.isEmpty()) {
        chunks.add(List.copyOf(chunk));
        chunk.clear();
        chunkBytes = sizeInBytes.applyAsInt(item);
      }
      chunk.add(item);
    }
    chunks.add(List.copyOf(chunk));
    return chunks;
  }

  private static <T> T last(List<T> items) {
    return items.get(items.size() - 1);
  }
}
