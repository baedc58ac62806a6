/** Value types that every layer shares: ids, traffic classes, verdicts and revisions. */
package org.cornelspoke.model;
