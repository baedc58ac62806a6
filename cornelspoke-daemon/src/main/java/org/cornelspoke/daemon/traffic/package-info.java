/** The traffic path of a daemon: edge, links, local upstreams and their announcement API. */
package org.cornelspoke.daemon.traffic;
