package org.cornelspoke.state.codec;

import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.registry.Departure;
import org.cornelspoke.state.registry.RegistryChange;

/** Encodes and decodes the commands of the control group's log and their results. Stateless. */
public final class CommandCodec {

  private static final int CHANGE = 1;
  private static final int REGISTRY_BATCH = 2;
  private static final int PLACE_CLAIM = 3;
  private static final int COMPLETE_CLAIM = 4;
  private static final int RELEASE_CLAIM = 5;

  private static final int COMPRESSED = 6;

  private static final int RECORD_CRASH = 7;
  private static final int RECORD_RESPONSE = 8;
  private static final int RELEASE_REQUEST = 9;

  /**
   * Size above which a command is compressed. Earlier versions accept no larger command and cannot
   * read compressed ones, so all members must run this version before one is proposed.
   */
  private static final int MAX_PLAIN_BYTES = 900_000;

  private static final int REGISTER = 1;
  private static final int DRAIN = 2;
  private static final int REMOVE = 3;
  private static final int EXPIRE = 4;
  private static final int DEPART = 5;

  private static final int CHANGED = 1;
  private static final int REGISTRY_VERSION = 2;
  private static final int CLAIMED = 3;
  private static final int CLAIM_ENDED = 4;
  private static final int QUARANTINE_CHANGED = 5;

  private CommandCodec() {}

  /** Encodes a command, compressed if it is large. */
  public static byte[] encode(ControlCommand command) {
    byte[] plain = encodePlain(command);
    if (plain.length <= MAX_PLAIN_BYTES) {
      return plain;
    }
    MessageWriter out = new MessageWriter().array(3).number(COMPRESSED).number(plain.length);
    return out.bytes(Compression.compress(plain)).toByteArray();
  }

  private static byte[] encodePlain(ControlCommand command) {
    MessageWriter out = new MessageWriter();
    if (command instanceof ControlCommand.Change change) {
      out.array(2).number(CHANGE);
      ChangeCodec.writeRequest(out, change.request());
    } else if (command instanceof ControlCommand.RegistryBatch batch) {
      out.array(2).number(REGISTRY_BATCH);
      out.list(batch.changes(), (RegistryChange change) -> writeRegistryChange(out, change));
    } else if (command instanceof ControlCommand.PlaceClaim place) {
      out.array(5).number(PLACE_CLAIM);
      ClaimCodec.writeKey(out, place.key());
      out.text(place.attempt().value()).text(place.fingerprintHex());
      out.number(place.timestampMillis());
    } else if (command instanceof ControlCommand.CompleteClaim complete) {
      out.array(5).number(COMPLETE_CLAIM);
      ClaimCodec.writeKey(out, complete.key());
      out.text(complete.attempt().value());
      out.optional(
          complete.response(),
          (StoredResponse response) -> ClaimCodec.writeResponse(out, response));
      out.number(complete.timestampMillis());
    } else if (command instanceof ControlCommand.ReleaseClaim release) {
      out.array(4).number(RELEASE_CLAIM);
      ClaimCodec.writeKey(out, release.key());
      out.text(release.attempt().value()).number(release.timestampMillis());
    } else if (command instanceof ControlCommand.RecordCrash crash) {
      out.array(3).number(RECORD_CRASH);
      QuarantineCodec.writeReport(out, crash.report());
      out.number(crash.timestampMillis());
    } else if (command instanceof ControlCommand.RecordResponse response) {
      out.array(3).number(RECORD_RESPONSE).text(response.fingerprint().value());
      out.number(response.timestampMillis());
    } else if (command instanceof ControlCommand.ReleaseRequest release) {
      out.array(4).number(RELEASE_REQUEST).text(release.fingerprint().value());
      out.text(release.operator().value()).number(release.timestampMillis());
    }
    return out.toByteArray();
  }

  /**
   * Decodes a command.
   *
   * @throws MalformedMessageException if the bytes are not a command known to this version
   */
  public static ControlCommand decode(byte[] command) {
    return MessageReader.decode(command, CommandCodec::readCommand);
  }

  /** Encodes a result. */
  public static byte[] encodeResult(ControlResult result) {
    MessageWriter out = new MessageWriter().array(2);
    if (result instanceof ControlResult.Changed changed) {
      ChangeCodec.writeResult(out.number(CHANGED), changed.result());
    } else if (result instanceof ControlResult.RegistryVersion version) {
      out.number(REGISTRY_VERSION).number(version.version());
    } else if (result instanceof ControlResult.Claimed claimed) {
      ClaimCodec.writeOutcome(out.number(CLAIMED), claimed.outcome());
    } else if (result instanceof ControlResult.ClaimEnded ended) {
      out.number(CLAIM_ENDED).flag(ended.applied());
    } else if (result instanceof ControlResult.QuarantineChanged changed) {
      out.number(QUARANTINE_CHANGED).flag(changed.changed());
    }
    return out.toByteArray();
  }

  /**
   * Decodes a result.
   *
   * @throws MalformedMessageException if the bytes are not a result known to this version
   */
  public static ControlResult decodeResult(byte[] result) {
    return MessageReader.decode(result, CommandCodec::readResult);
  }

  private static ControlResult readResult(MessageReader in) {
    in.array(2);
    int type = in.integer();
    return switch (type) {
      case CHANGED -> new ControlResult.Changed(ChangeCodec.readResult(in));
      case REGISTRY_VERSION -> new ControlResult.RegistryVersion(in.number());
      case CLAIMED -> new ControlResult.Claimed(ClaimCodec.readOutcome(in));
      case CLAIM_ENDED -> new ControlResult.ClaimEnded(in.flag());
      case QUARANTINE_CHANGED -> new ControlResult.QuarantineChanged(in.flag());
      default -> throw MessageReader.unknownType("result", type);
    };
  }

  private static ControlCommand readCommand(MessageReader in) {
    int size = in.arraySize();
    int type = in.integer();
    if (type == COMPRESSED && size == 3) {
      int plainBytes = in.integer();
      byte[] plain = Compression.decompress(in.bytes(), plainBytes);
      return MessageReader.decode(
          plain, nested -> readPlainCommand(nested, nested.arraySize(), nested.integer()));
    }
    return readPlainCommand(in, size, type);
  }

  private static ControlCommand readPlainCommand(MessageReader in, int size, int type) {
    int expectedSize =
        switch (type) {
          case CHANGE, REGISTRY_BATCH -> 2;
          case PLACE_CLAIM, COMPLETE_CLAIM -> 5;
          case RELEASE_CLAIM, RELEASE_REQUEST -> 4;
          case RECORD_CRASH, RECORD_RESPONSE -> 3;
          default -> throw MessageReader.unknownType("command", type);
        };
    if (size != expectedSize) {
      throw new MalformedMessageException("command has a wrong number of fields: " + size);
    }
    return switch (type) {
      case CHANGE -> new ControlCommand.Change(ChangeCodec.readRequest(in));
      case REGISTRY_BATCH ->
          new ControlCommand.RegistryBatch(in.list(() -> readRegistryChange(in)));
      case PLACE_CLAIM ->
          new ControlCommand.PlaceClaim(
              ClaimCodec.readKey(in), new CallId(in.text()), in.text(), in.number());
      case COMPLETE_CLAIM ->
          new ControlCommand.CompleteClaim(
              ClaimCodec.readKey(in),
              new CallId(in.text()),
              in.optional(() -> ClaimCodec.readResponse(in)),
              in.number());
      case RECORD_CRASH ->
          new ControlCommand.RecordCrash(QuarantineCodec.readReport(in), in.number());
      case RECORD_RESPONSE ->
          new ControlCommand.RecordResponse(new RequestFingerprint(in.text()), in.number());
      case RELEASE_REQUEST ->
          new ControlCommand.ReleaseRequest(
              new RequestFingerprint(in.text()), new OperatorId(in.text()), in.number());
      default ->
          new ControlCommand.ReleaseClaim(
              ClaimCodec.readKey(in), new CallId(in.text()), in.number());
    };
  }

  private static void writeRegistryChange(MessageWriter out, RegistryChange change) {
    if (change instanceof RegistryChange.Register register) {
      TargetCodec.write(out.array(2).number(REGISTER), register.target());
    } else if (change instanceof RegistryChange.Drain drain) {
      out.array(3).number(DRAIN).text(drain.target().value()).text(drain.daemon().value());
    } else if (change instanceof RegistryChange.Remove remove) {
      out.array(3).number(REMOVE).text(remove.target().value()).text(remove.daemon().value());
    } else if (change instanceof RegistryChange.Depart depart) {
      out.array(4).number(DEPART).text(depart.departure().daemon().value());
      out.text(depart.departure().process()).number(depart.departure().timestampMillis());
    } else if (change instanceof RegistryChange.Expire expire) {
      out.array(3).number(EXPIRE).text(expire.target().value()).number(expire.version());
    }
  }

  private static RegistryChange readRegistryChange(MessageReader in) {
    int size = in.arraySize();
    int type = in.integer();
    if (size != (type == REGISTER ? 2 : type == DEPART ? 4 : 3)) {
      throw new MalformedMessageException("registry change has a wrong number of fields: " + size);
    }
    return switch (type) {
      case REGISTER -> new RegistryChange.Register(TargetCodec.read(in));
      case DRAIN -> new RegistryChange.Drain(new TargetId(in.text()), new DaemonId(in.text()));
      case REMOVE -> new RegistryChange.Remove(new TargetId(in.text()), new DaemonId(in.text()));
      case EXPIRE -> new RegistryChange.Expire(new TargetId(in.text()), in.number());
      case DEPART ->
          new RegistryChange.Depart(new Departure(new DaemonId(in.text()), in.text(), in.number()));
      default -> throw MessageReader.unknownType("registry change", type);
    };
  }
}
