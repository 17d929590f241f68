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
package org.lupinpaddle.core.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vavr.control.Either;

/** Step definitions of operator_language.feature. */
public final class OperatorLanguageSteps {

    private Either<String, OperatorCommand> result = Either.left("no command entered");

    /** Parses the command line. */
    @When("an operator enters {string}")
    public void anOperatorEnters(String words) {
        result = CommandParser.parse(CommandParser.split(words));
    }

    /** Checks the type of the parsed command. */
    @Then("it is the command {word}")
    public void itIsTheCommand(String name) {
        assertTrue(result.isRight(), () -> result.getLeft());
        assertEquals(name, result.get().getClass().getSimpleName());
    }

    /** Checks that the command is rejected with one line that contains the reason. */
    @Then("it is refused with {string}")
    public void itIsRefusedWith(String reason) {
        assertTrue(result.isLeft(), "the command was accepted");
        assertTrue(result.getLeft().contains(reason), result.getLeft());
        assertFalse(result.getLeft().contains("\n"), "the message must be one line");
    }
}
