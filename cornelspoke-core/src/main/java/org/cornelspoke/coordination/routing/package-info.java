/** Choice of a target among the daemons that serve a service. */
package org.cornelspoke.coordination.routing;
