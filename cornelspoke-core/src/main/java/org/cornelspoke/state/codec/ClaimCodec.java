package org.cornelspoke.state.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.state.claim.ClaimKey;
import org.cornelspoke.state.claim.ClaimOutcome;
import org.cornelspoke.state.claim.StoredAnswer;

/** Encodes claim keys, stored answers and outcomes of claims. Stateless. */
public final class ClaimCodec {

  private static final int GRANTED = 1;
  private static final int RUNNING = 2;
  private static final int DONE = 3;
  private static final int DONE_WITHOUT_ANSWER = 4;
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

  /** Writes a stored answer; headers are sorted, so that equal answers have equal bytes. */
  public static void writeAnswer(MessageWriter out, StoredAnswer answer) {
    Map<String, String> headers = new TreeMap<>(answer.headers());
    out.array(3).number(answer.status()).array(headers.size());
    headers.forEach((name, value) -> out.array(2).text(name).text(value));
    out.bytes(answer.body());
  }

  /** Reads a stored answer. */
  public static StoredAnswer readAnswer(MessageReader in) {
    in.array(3);
    int status = in.integer();
    int count = in.arraySize();
    Map<String, String> headers = new HashMap<>();
    for (int i = 0; i < count; i++) {
      in.array(2);
      headers.put(in.text(), in.text());
    }
    return new StoredAnswer(status, headers, in.bytes());
  }

  /** Writes an outcome. */
  public static void writeOutcome(MessageWriter out, ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Done done) {
      out.array(2).number(DONE);
      writeAnswer(out, done.answer());
    } else {
      out.array(1).number(code(outcome));
    }
  }

  /** Reads an outcome. */
  public static ClaimOutcome readOutcome(MessageReader in) {
    int size = in.arraySize();
    int type = in.integer();
    if (size != (type == DONE ? 2 : 1)) {
      throw new MalformedMessageException("claim outcome has a wrong number of fields: " + size);
    }
    return switch (type) {
      case GRANTED -> new ClaimOutcome.Granted();
      case RUNNING -> new ClaimOutcome.Running();
      case DONE -> new ClaimOutcome.Done(readAnswer(in));
      case DONE_WITHOUT_ANSWER -> new ClaimOutcome.DoneWithoutAnswer();
      case MISMATCH -> new ClaimOutcome.Mismatch();
      case TABLE_FULL -> new ClaimOutcome.TableFull();
      case UNAVAILABLE -> new ClaimOutcome.Unavailable();
      default -> throw MessageReader.unknownType("claim outcome", type);
    };
  }

  private static int code(ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Granted) {
      return GRANTED;
    }
    if (outcome instanceof ClaimOutcome.Running) {
      return RUNNING;
    }
    if (outcome instanceof ClaimOutcome.DoneWithoutAnswer) {
      return DONE_WITHOUT_ANSWER;
    }
    if (outcome instanceof ClaimOutcome.Mismatch) {
      return MISMATCH;
    }
    return outcome instanceof ClaimOutcome.TableFull ? TABLE_FULL : UNAVAILABLE;
  }
}
