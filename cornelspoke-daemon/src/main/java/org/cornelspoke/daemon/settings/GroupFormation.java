package org.cornelspoke.daemon.settings;

/** How a control VM becomes a member of its control group. */
public enum GroupFormation {
  /** The settings list the initial members; operators make all later changes. */
  OPERATED,
  /** The listed VMs form the group at the first start; the leader adds all others. */
  FORMING,
  /** The group exists already; its leader adds this VM. */
  JOINING
}
