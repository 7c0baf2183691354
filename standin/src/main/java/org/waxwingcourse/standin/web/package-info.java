/** What the stand-ins share: a Ratpack server whose connections can be made to fail. */
package org.waxwingcourse.standin.web;
