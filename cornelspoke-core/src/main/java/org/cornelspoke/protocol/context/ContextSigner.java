package org.cornelspoke.protocol.context;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.view.FleetView;
import org.cornelspoke.util.Assert;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Signs call contexts with HMAC-SHA256 and verifies them. The text form is {@code
 * base64url(content)}, a dot and {@code base64url(signature)}. The content includes the number of
 * the secret, so that contexts signed with the previous secret stay valid while the secret is
 * rotated.
 *
 * <p>Not safe for use by several threads.
 */
public final class ContextSigner {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int MAX_TEXT_LENGTH = 1_024;
  private static final int FIELD_COUNT = 7;

  private final Map<ContextSecret, Mac> macs = new HashMap<>();
  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  /** Returns the signed text form of a context. */
  public String sign(CallContext context, ContextSecret secret) {
    byte[] content = encode(context, secret.number());
    Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
    return encoder.encodeToString(content)
        + '.'
        + encoder.encodeToString(macFor(secret).doFinal(content));
  }

  /**
   * Verifies the text form of a context.
   *
   * @return the context, or empty if the text is malformed, its secret is unknown, or its signature
   *     is wrong
   */
  public Optional<CallContext> verify(String text, FleetView view) {
    int dot = text.indexOf('.');
    if (dot < 0 || text.length() > MAX_TEXT_LENGTH) {
      return Optional.empty();
    }
    try {
      byte[] content = Base64.getUrlDecoder().decode(text.substring(0, dot));
      byte[] signature = Base64.getUrlDecoder().decode(text.substring(dot + 1));
      return decode(content, signature, view);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private byte[] encode(CallContext context, int secretNumber) {
    packer.clear();
    try {
      packer.packArrayHeader(FIELD_COUNT);
      packer.packInt(secretNumber);
      packer.packString(context.call().value());
      packer.packString(context.account().value());
      packer.packInt(context.weight());
      packer.packString(context.trafficClass().name());
      packer.packLong(context.revision().number());
      packer.packLong(context.expiresAtMillis());
    } catch (IOException e) {
      throw new IllegalStateException("encoding into memory failed", e);
    }
    return packer.toByteArray();
  }

  private Optional<CallContext> decode(byte[] content, byte[] signature, FleetView view)
      throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(content)) {
      Assert.isTrue(in.unpackArrayHeader() == FIELD_COUNT, "context must have 7 fields");
      Optional<ContextSecret> secret = view.contextSecret(in.unpackInt());
      if (secret.isEmpty()
          || !MessageDigest.isEqual(signature, macFor(secret.get()).doFinal(content))) {
        return Optional.empty();
      }
      return Optional.of(
          new CallContext(
              new CallId(in.unpackString()),
              new AccountId(in.unpackString()),
              in.unpackInt(),
              TrafficClass.valueOf(in.unpackString()),
              new Revision(in.unpackLong()),
              in.unpackLong()));
    }
  }

  private Mac macFor(ContextSecret secret) {
    return macs.computeIfAbsent(secret, ContextSigner::newMac);
  }

  private static Mac newMac(ContextSecret secret) {
    byte[] key = HexFormat.of().parseHex(secret.secretHex());
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HMAC-SHA256 is not available", e);
    } finally {
      Arrays.fill(key, (byte) 0);
    }
  }
}
