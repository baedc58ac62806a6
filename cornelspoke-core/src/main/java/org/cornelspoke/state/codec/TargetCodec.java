package org.cornelspoke.state.codec;

import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;

/** Encodes and decodes targets. Stateless. */
public final class TargetCodec {

  private TargetCodec() {}

  /** Writes a target. */
  public static void write(MessageWriter out, Target target) {
    out.array(8).text(target.id().value()).text(target.service().value());
    out.text(target.daemon().value()).text(target.dataCentre().value());
    out.text(target.linkEndpoint().ip()).number(target.linkEndpoint().port());
    out.number(target.slots()).enumConstant(target.state(), TargetState.values());
  }

  /** Reads a target. */
  public static Target read(MessageReader in) {
    in.array(8);
    return new Target(
        new TargetId(in.text()),
        new ServiceName(in.text()),
        new DaemonId(in.text()),
        new DataCentreId(in.text()),
        new Endpoint(in.text(), in.integer()),
        in.integer(),
        in.enumConstant(TargetState.values()));
  }
}
