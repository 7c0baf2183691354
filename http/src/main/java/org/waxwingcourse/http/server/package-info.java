/** The HTTP server that all HTTP interfaces share. */
package org.waxwingcourse.http.server;
