package org.cornelspoke.state.codec;

import org.cornelspoke.model.CallId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.claim.Claim;
import org.cornelspoke.state.claim.ClaimImage;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigImage;
import org.cornelspoke.state.config.FirstAnswer;
import org.cornelspoke.state.config.VersionedEntity;
import org.cornelspoke.state.registry.RegistryImage;
import org.cornelspoke.state.registry.Target;

/** Encodes snapshots of the control group's state. Stateless. */
public final class SnapshotCodec {

  private static final String MAGIC = "cornelspoke-state";
  private static final int FORMAT = 1;

  private SnapshotCodec() {}

  /** The parts of a snapshot. */
  public record Parts(ConfigImage config, RegistryImage registry, ClaimImage claims) {}

  /** Encodes a snapshot. Equal states have equal bytes. */
  public static byte[] encode(Parts parts) {
    MessageWriter out = new MessageWriter().array(5).text(MAGIC).number(FORMAT);
    writeConfig(out, parts.config());
    writeRegistry(out, parts.registry());
    writeClaims(out, parts.claims());
    return out.toByteArray();
  }

  /**
   * Decodes a snapshot.
   *
   * @throws MalformedMessageException if the bytes are not a snapshot of a known format
   */
  public static Parts decode(byte[] snapshot) {
    return MessageReader.decode(
        snapshot,
        in -> {
          in.array(5);
          if (!in.text().equals(MAGIC)) {
            throw new MalformedMessageException("not a snapshot of the control group's state");
          }
          int format = in.integer();
          if (format != FORMAT) {
            throw MessageReader.unknownType("snapshot format", format);
          }
          return new Parts(readConfig(in), readRegistry(in), readClaims(in));
        });
  }

  private static void writeConfig(MessageWriter out, ConfigImage image) {
    out.array(7).number(image.revision().number()).number(image.tombstoneFloor().number());
    out.list(
        image.entities(),
        (VersionedEntity entity) -> {
          out.array(3);
          EntityCodec.writeId(out, entity.id());
          out.number(entity.revision().number());
          out.optional(entity.value(), (ConfigEntity value) -> EntityCodec.write(out, value));
        });
    out.list(
        image.answers(),
        (FirstAnswer answer) -> {
          out.array(4).text(answer.requestId().value()).text(answer.changeDigest());
          ChangeCodec.writeResult(out.number(answer.timestampMillis()), answer.result());
        });
    out.list(image.audit(), (AuditEntry entry) -> ChangeCodec.writeAudit(out, entry));
    out.number(image.auditSequence()).number(image.timestampMillis());
  }

  private static ConfigImage readConfig(MessageReader in) {
    in.array(7);
    return new ConfigImage(
        new Revision(in.number()),
        new Revision(in.number()),
        in.list(
            () -> {
              in.array(3);
              return new VersionedEntity(
                  EntityCodec.readId(in),
                  new Revision(in.number()),
                  in.optional(() -> EntityCodec.read(in)));
            }),
        in.list(
            () -> {
              in.array(4);
              return new FirstAnswer(
                  new RequestId(in.text()), in.text(), in.number(), ChangeCodec.readResult(in));
            }),
        in.list(() -> ChangeCodec.readAudit(in)),
        in.number(),
        in.number());
  }

  private static void writeRegistry(MessageWriter out, RegistryImage image) {
    out.array(3).number(image.version()).number(image.tombstoneFloor());
    out.list(
        image.entries(),
        (RegistryImage.Entry entry) -> {
          out.array(4).text(entry.service().value()).text(entry.id().value());
          out.number(entry.version());
          out.optional(entry.target(), (Target target) -> TargetCodec.write(out, target));
        });
  }

  private static RegistryImage readRegistry(MessageReader in) {
    in.array(3);
    return new RegistryImage(
        in.number(),
        in.number(),
        in.list(
            () -> {
              in.array(4);
              return new RegistryImage.Entry(
                  new ServiceName(in.text()),
                  new TargetId(in.text()),
                  in.number(),
                  in.optional(() -> TargetCodec.read(in)));
            }));
  }

  private static void writeClaims(MessageWriter out, ClaimImage image) {
    out.array(3).number(image.timestampMillis());
    out.list(
        image.claims(),
        (Claim claim) -> {
          out.array(5);
          ClaimCodec.writeKey(out, claim.key());
          out.text(claim.attempt().value()).text(claim.fingerprintHex());
          ClaimCodec.writeOutcome(out.number(claim.timestampMillis()), claim.state());
        });
    out.list(
        image.released(),
        (ClaimImage.Released released) ->
            out.array(2).text(released.attempt().value()).number(released.timestampMillis()));
  }

  private static ClaimImage readClaims(MessageReader in) {
    in.array(3);
    return new ClaimImage(
        in.number(),
        in.list(
            () -> {
              in.array(5);
              return new Claim(
                  ClaimCodec.readKey(in),
                  new CallId(in.text()),
                  in.text(),
                  in.number(),
                  ClaimCodec.readOutcome(in));
            }),
        in.list(
            () -> {
              in.array(2);
              return new ClaimImage.Released(new CallId(in.text()), in.number());
            }));
  }
}
