/** A stand-in for the network between two processes, with its faults. */
package org.waxwingcourse.standin.link;
