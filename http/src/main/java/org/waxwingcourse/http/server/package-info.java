/** The HTTP server that all fronts share. */
package org.waxwingcourse.http.server;
