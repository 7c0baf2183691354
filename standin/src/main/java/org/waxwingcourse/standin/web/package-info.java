/** The HTTP server shared by the stand-ins, with connections that can be made to fail. */
package org.waxwingcourse.standin.web;
