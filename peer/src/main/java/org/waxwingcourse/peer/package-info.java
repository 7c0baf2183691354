/** The transport that carries messages between hosts. */
package org.waxwingcourse.peer;
