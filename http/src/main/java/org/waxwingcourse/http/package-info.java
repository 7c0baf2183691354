/** A thin layer over Ratpack's HTTP client in which every failure is a value. */
package org.waxwingcourse.http;
