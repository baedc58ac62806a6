package org.cornelspoke.state.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelspoke.util.Assert;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes the fields of one message. The limits are those of {@link MessageReader}: a message that
 * can be written can be read, so no member of the control group meets a command in its log that it
 * can't decode.
 *
 * <p>Not safe for use by several threads.
 */
public final class MessageWriter {

  /** Longest text in UTF-16 units. */
  public static final int MAX_TEXT_CHARS = 16_384;

  /** Longest byte array. */
  public static final int MAX_BYTES = 1 << 20;

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** Starts an array of the given number of fields. */
  public MessageWriter array(int size) {
    return write(() -> packer.packArrayHeader(size));
  }

  /** Writes a whole number. */
  public MessageWriter number(long value) {
    return write(() -> packer.packLong(value));
  }

  /** Writes a floating-point number. */
  public MessageWriter real(double value) {
    return write(() -> packer.packDouble(value));
  }

  /** Writes a truth value. */
  public MessageWriter flag(boolean value) {
    return write(() -> packer.packBoolean(value));
  }

  /**
   * Writes a text.
   *
   * @throws IllegalArgumentException if the text is null or too long
   */
  public MessageWriter text(String value) {
    Assert.notNull(value, "text");
    Assert.isTrue(value.length() <= MAX_TEXT_CHARS, "text must have at most 16384 characters");
    return write(() -> packer.packString(value));
  }

  /**
   * Writes bytes.
   *
   * @throws IllegalArgumentException if there are too many
   */
  public MessageWriter bytes(byte[] value) {
    Assert.isTrue(value.length <= MAX_BYTES, "bytes must be at most 1 MiB");
    return write(
        () -> {
          packer.packBinaryHeader(value.length);
          packer.writePayload(value);
        });
  }

  /** Writes the position of a constant; the order of the constants must never change. */
  public <E extends Enum<E>> MessageWriter constant(E value, E[] values) {
    return number(Arrays.asList(values).indexOf(value));
  }

  /** Writes an array with one element for each item. */
  public <T> MessageWriter list(Collection<? extends T> items, Consumer<T> element) {
    array(items.size());
    items.forEach(element);
    return this;
  }

  /** Writes an array of no or one element. */
  public <T> MessageWriter optional(Optional<? extends T> value, Consumer<T> element) {
    array(value.isPresent() ? 1 : 0);
    value.ifPresent(element);
    return this;
  }

  /** Returns the message. */
  public byte[] toByteArray() {
    return packer.toByteArray();
  }

  private MessageWriter write(Step step) {
    try {
      step.run();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException("a buffer in memory failed", e);
    }
  }

  private interface Step {
    void run() throws IOException;
  }
}
