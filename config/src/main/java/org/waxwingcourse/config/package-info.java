/** Reading and validation of node settings and operator declarations in TOML files. */
package org.waxwingcourse.config;
