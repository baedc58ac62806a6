/** Value types shared by all layers: ids, traffic classes, verdicts and revisions. */
package org.cornelspoke.model;
