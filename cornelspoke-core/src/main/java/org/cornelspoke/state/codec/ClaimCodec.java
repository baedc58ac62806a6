package org.cornelspoke.state.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredResponse;

/** Encodes and decodes claim keys, stored responses and claim outcomes. Stateless. */
public final class ClaimCodec {

  private static final int GRANTED = 1;
  private static final int RUNNING = 2;
  private static final int COMPLETED = 3;
  private static final int COMPLETED_WITHOUT_RESPONSE = 4;
  private static final int MISMATCH = 5;
  private static final int TABLE_FULL = 6;
  private static final int UNAVAILABLE = 7;

  private ClaimCodec() {}

  /** Writes a claim key. */
  public static void writeKey(MessageWriter out, ClaimKey key) {
    out.array(2).text(key.account().value()).text(key.idempotencyKeyHashHex());
  }

  /** Reads a claim key. */
  public static ClaimKey readKey(MessageReader in) {
    in.array(2);
    return new ClaimKey(new AccountId(in.text()), in.text());
  }

  /** Writes a stored response. Headers are sorted so that equal responses have equal encodings. */
  public static void writeResponse(MessageWriter out, StoredResponse response) {
    Map<String, String> headers = new TreeMap<>(response.headers());
    out.array(3).number(response.status()).array(headers.size());
    headers.forEach((name, value) -> out.array(2).text(name).text(value));
    out.bytes(response.body());
  }

  /** Reads a stored response. */
  public static StoredResponse readResponse(MessageReader in) {
    in.array(3);
    int status = in.integer();
    int headerCount = in.arraySize();
    Map<String, String> headers = new HashMap<>();
    for (int i = 0; i < headerCount; i++) {
      in.array(2);
      headers.put(in.text(), in.text());
    }
    return new StoredResponse(status, headers, in.bytes());
  }

  /** Writes a claim outcome. */
  public static void writeOutcome(MessageWriter out, ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Completed completed) {
      out.array(2).number(COMPLETED);
      writeResponse(out, completed.response());
    } else {
      out.array(1).number(typeCode(outcome));
    }
  }

  /** Reads a claim outcome. */
  public static ClaimOutcome readOutcome(MessageReader in) {
    int size = in.arraySize();
    int type = in.integer();
    if (size != (type == COMPLETED ? 2 : 1)) {
      throw new MalformedMessageException("claim outcome has a wrong number of fields: " + size);
    }
    return switch (type) {
      case GRANTED -> new ClaimOutcome.Granted();
      case RUNNING -> new ClaimOutcome.Running();
      case COMPLETED -> new ClaimOutcome.Completed(readResponse(in));
      case COMPLETED_WITHOUT_RESPONSE -> new ClaimOutcome.CompletedWithoutResponse();
      case MISMATCH -> new ClaimOutcome.Mismatch();
      case TABLE_FULL -> new ClaimOutcome.TableFull();
      case UNAVAILABLE -> new ClaimOutcome.Unavailable();
      default -> throw MessageReader.unknownType("claim outcome", type);
    };
  }

  private static int typeCode(ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Granted) {
      return GRANTED;
    }
    if (outcome instanceof ClaimOutcome.Running) {
      return RUNNING;
    }
    if (outcome instanceof ClaimOutcome.CompletedWithoutResponse) {
      return COMPLETED_WITHOUT_RESPONSE;
    }
    if (outcome instanceof ClaimOutcome.Mismatch) {
      return MISMATCH;
    }
    return outcome instanceof ClaimOutcome.TableFull ? TABLE_FULL : UNAVAILABLE;
  }
}
