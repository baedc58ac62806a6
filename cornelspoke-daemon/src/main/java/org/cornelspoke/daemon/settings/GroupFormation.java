package org.cornelspoke.daemon.settings;

/** How a control VM gets into its control group. */
public enum GroupFormation {
  /** The settings name every member; operators change the membership. */
  OPERATED,
  /** The named VMs form the group at the first start; the leader takes in all others. */
  FORMING,
  /** The group exists already; its leader takes this VM in. */
  JOINING
}
