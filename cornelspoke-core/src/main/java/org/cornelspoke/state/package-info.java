/** Contract of replicated state; the sub-packages hold its parts. */
package org.cornelspoke.state;
