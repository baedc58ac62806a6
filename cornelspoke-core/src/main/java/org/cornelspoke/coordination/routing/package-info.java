/** Selection of the service of a request and of the target that serves it. */
package org.cornelspoke.coordination.routing;
