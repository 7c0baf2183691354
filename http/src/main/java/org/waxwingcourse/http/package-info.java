/** An HTTP client on top of Ratpack's client that returns every failure as a value. */
package org.waxwingcourse.http;
