//! Problems in a configuration, and their positions.

use std::cell::RefCell;

/// A problem in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {message}")]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What is expected instead.
    pub hint: Option<String>,
}

/// All problems of a configuration that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the configuration has {} problems", .problems.len())]
pub struct ConfigError {
    problems: Vec<Problem>,
}

impl ConfigError {
    /// The problems, in the order of their positions.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Formats each problem as a compiler does: position, message, source line with a caret, and hint.
    pub fn render(&self, file: &str, source: &str) -> String {
        let mut out = String::new();
        for problem in &self.problems {
            let line = source.lines().nth(problem.line - 1).unwrap_or("");
            let gutter = problem.line.to_string();
            let pad = " ".repeat(gutter.len());
            out += &format!("{file}:{}:{}: {}\n", problem.line, problem.column, problem.message);
            out += &format!("{pad} |\n{gutter} | {line}\n{pad} | {}^\n", " ".repeat(problem.column - 1));
            if let Some(hint) = &problem.hint {
                out += &format!("{pad} = {hint}\n");
            }
        }
        out
    }
}

/// Collects the problems of one source text.
pub(crate) struct ProblemCollector<'a> {
    source: &'a str,
    problems: RefCell<Vec<Problem>>,
}

impl<'a> ProblemCollector<'a> {
    pub fn new(source: &'a str) -> Self {
        Self { source, problems: RefCell::default() }
    }

    /// Adds a problem at a byte offset in the source.
    pub fn add(&self, offset: usize, message: impl Into<String>, hint: impl Into<Option<String>>) {
        let before = &self.source[..offset.min(self.source.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |line| line.chars().count()) + 1;
        let problem = Problem { line, column, message: message.into(), hint: hint.into() };
        self.problems.borrow_mut().push(problem);
    }

    /// Converts the problems to one error, which is empty if there were none.
    pub fn into_error(self) -> ConfigError {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| (problem.line, problem.column));
        ConfigError { problems }
    }
}
