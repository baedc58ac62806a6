package org.cornelspoke.bench.upstream;

import java.io.IOException;
import java.util.Base64;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The ids in a call context that are of use in a log. The signature is not checked, because a
 * stand-in has no secret.
 */
record ContextIds(String call, String account) {

  /**
   * Reads the text form {@code base64url(content).base64url(signature)}, whose content is a
   * MessagePack array that starts with the number of the secret, the call id and the account.
   *
   * @return empty if the text has another form
   */
  static Optional<ContextIds> read(String text) {
    int dot = text.indexOf('.');
    if (dot < 0) {
      return Optional.empty();
    }
    try (MessageUnpacker in =
        MessagePack.newDefaultUnpacker(Base64.getUrlDecoder().decode(text.substring(0, dot)))) {
      if (in.unpackArrayHeader() < 3) {
        return Optional.empty();
      }
      in.unpackInt();
      return Optional.of(new ContextIds(in.unpackString(), in.unpackString()));
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
