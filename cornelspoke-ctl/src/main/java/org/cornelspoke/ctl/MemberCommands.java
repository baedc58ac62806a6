package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands for the members of the control group. */
final class MemberCommands {

  static final String[] COLUMNS = {
    "VM", "vmId",
    "ROLE", "role",
    "PEER ADDRESS", "peerAddress",
    "MATCH INDEX", "matchIndex",
    "IDENTITY", "identity"
  };

  private MemberCommands() {}

  @Parameters(commandDescription = "List the members of the control group")
  static final class ListAll extends Command {

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      return context.printList(context.client().read("members"), "members", COLUMNS);
    }
  }

  @Parameters(commandDescription = "Add a control VM as a learner, a member without a vote")
  static final class Add extends Command {

    @Parameter(description = "VM-ID", required = true)
    private String vmId;

    @Parameter(names = "--peer-address", required = true, description = "Its peerAddress")
    private String peerAddress;

    @Parameter(names = "--relay-address", required = true, description = "Its relayAddress")
    private String relayAddress;

    @Parameter(names = "--admin-address", required = true, description = "Its adminAddress")
    private String adminAddress;

    Add(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      ObjectNode body =
          JsonNodeFactory.instance
              .objectNode()
              .put("vmId", vmId)
              .put("peerAddress", peerAddress)
              .put("relayAddress", relayAddress)
              .put("adminAddress", adminAddress);
      return context.printAccepted(
          context.submitChange("POST", "members", body), "member " + vmId + " added as a learner");
    }
  }

  @Parameters(commandDescription = "Give a learner that has caught up a vote")
  static final class Promote extends Command {

    @Parameter(description = "VM-ID", required = true)
    private String vmId;

    Promote(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "members/" + CommandContext.requirePathSegment("VM-ID", vmId) + "/promote";
      return context.printAccepted(
          context.submitChange("POST", path, null), "member " + vmId + " is a voter");
    }
  }

  @Parameters(commandDescription = "Remove a member from the control group")
  static final class Remove extends Command {

    @Parameter(description = "VM-ID", required = true)
    private String vmId;

    Remove(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "members/" + CommandContext.requirePathSegment("VM-ID", vmId);
      return context.printAccepted(
          context.submitChange("DELETE", path, null), "member " + vmId + " removed");
    }
  }
}
