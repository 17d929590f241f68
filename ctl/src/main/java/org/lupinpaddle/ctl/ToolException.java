/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.ctl;

/** Ends the tool with an exit code and a one-line reason. */
final class ToolException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    ToolException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
