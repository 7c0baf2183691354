/** The client that forwards calls to plain services. */
package org.waxwingcourse.upstream.service;
